package config

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/tidwall/gjson"
)

// Platform is the configuration that the platform gives a gateway at its start.
type Platform struct {
	Name, Listen, Discovery, Counter string
	Management                       string // listen address of the management endpoint; "": none
	Seed                             uint64
	Cores                            float64
	MemoryMB, Sockets                int
	Known                            []byte // the last known list of servers, in the format of discovery
	Settings                         Settings
	SettingsRaw                      []byte // raw JSON, for CheckReload
}

// LoadPlatform reads the file named by EDGE_CONFIG. The other environment variables take precedence over the file.
func LoadPlatform(path string) (Platform, error) {
	p, err := ReadPlatform(path)
	if err != nil {
		return p, err
	}
	p.Name, p.Listen = cmp.Or(os.Getenv("EDGE_NAME"), p.Name), cmp.Or(os.Getenv("EDGE_LISTEN"), p.Listen)
	p.Discovery = cmp.Or(os.Getenv("EDGE_DISCOVERY"), p.Discovery)
	p.Management = cmp.Or(os.Getenv("EDGE_MANAGEMENT"), p.Management)
	if p.Listen == "" {
		return p, fmt.Errorf("%s: no listen address in the file or in EDGE_LISTEN", path)
	}
	return p, nil
}

// ReadPlatform reads only the file. A running gateway uses it to learn new addresses, since its environment variables
// still hold the values from its start.
func ReadPlatform(path string) (Platform, error) {
	var p Platform
	raw, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	if !gjson.ValidBytes(raw) {
		return p, fmt.Errorf("%s is not JSON", path)
	}
	top := gjson.ParseBytes(raw)
	p.Name, p.Listen = top.Get("name").String(), top.Get("listen").String()
	p.Discovery, p.Counter = top.Get("discovery").String(), top.Get("counter").String()
	p.Management = top.Get("management").String()
	if p.Seed, err = strconv.ParseUint(top.Get("seed").String(), 16, 64); err != nil {
		return p, fmt.Errorf("%s: seed: %w", path, err)
	}
	limits := top.Get("limits")
	p.Cores, p.MemoryMB = limits.Get("cores").Float(), int(limits.Get("memory_mb").Int())
	p.Sockets = int(limits.Get("sockets").Int())
	p.Known = []byte(top.Get("known").Raw)
	p.SettingsRaw = []byte(top.Get("settings").Raw)
	if p.Settings, err = DecodeSettings(p.SettingsRaw); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// CheckAddresses returns an error unless discovery and, if the module may call it, the counter have valid addresses.
func (p *Platform) CheckAddresses() error {
	for key, address := range map[string]string{"discovery": p.Discovery, "counter": p.Counter} {
		if key == "counter" && !p.Settings.Module.Counter.Allowed {
			continue
		}
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
			return fmt.Errorf("%s: %q is no host:port", key, address)
		}
	}
	return nil
}
