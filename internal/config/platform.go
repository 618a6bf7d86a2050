package config

import (
	"fmt"
	"os"
	"strconv"

	"github.com/tidwall/gjson"
)

// Platform is what the platform tells a gateway at its start.
type Platform struct {
	Name, Listen, Discovery, Counter string
	Seed                             uint64
	Cores                            float64
	MemoryMB, Sockets                int
	Known                            []byte // the list as last had, in discovery's form
	Settings                         Settings
}

// LoadPlatform reads the file that EDGE_CONFIG names. The other variables win over it.
func LoadPlatform(path string) (Platform, error) {
	var p Platform
	raw, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	if !gjson.ValidBytes(raw) {
		return p, fmt.Errorf("%s is not JSON", path)
	}
	top := gjson.ParseBytes(raw)
	or := func(variable, key string) string {
		if v := os.Getenv(variable); v != "" {
			return v
		}
		return top.Get(key).String()
	}
	p.Name, p.Listen = or("EDGE_NAME", "name"), or("EDGE_LISTEN", "listen")
	p.Discovery, p.Counter = or("EDGE_DISCOVERY", "discovery"), top.Get("counter").String()
	if p.Seed, err = strconv.ParseUint(top.Get("seed").String(), 16, 64); err != nil {
		return p, fmt.Errorf("%s: seed: %w", path, err)
	}
	limits := top.Get("limits")
	p.Cores, p.MemoryMB = limits.Get("cores").Float(), int(limits.Get("memory_mb").Int())
	p.Sockets = int(limits.Get("sockets").Int())
	p.Known = []byte(top.Get("known").Raw)
	if p.Settings, err = DecodeSettings([]byte(top.Get("settings").Raw)); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	if p.Listen == "" {
		return p, fmt.Errorf("%s: no address to listen on", path)
	}
	return p, nil
}
