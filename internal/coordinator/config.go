package coordinator

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"junctionring/internal/config"
	"junctionring/lease"
)

// Config is the configuration file of a coordinator.
type Config struct {
	Name    string          `toml:"name"`
	Listen  string          `toml:"listen"`
	Data    string          `toml:"data"`
	Life    config.Duration `toml:"longest_life"` // longest life that a session may request
	Drift   float64         `toml:"drift"`        // largest relative deviation of a clock's rate
	Entries uint64          `toml:"snapshot_entries"`
	Bounds  struct {
		Sessions int `toml:"sessions"`
		Leases   int `toml:"leases"`
		Waiters  int `toml:"waiters"`
		Asks     int `toml:"asks"` // requests accepted and not answered yet
	} `toml:"bounds"`
	Peers []struct {
		Name    string `toml:"name"`
		Address string `toml:"address"`
	} `toml:"coordinator"`
}

// LoadConfig reads and checks a configuration file. The error names each invalid key.
func LoadConfig(path string) (*Config, error) {
	c := &Config{Name: "coordinator-1", Drift: 0.01, Entries: 10_000}
	c.Life.Duration = 10 * time.Second
	c.Bounds.Sessions, c.Bounds.Leases, c.Bounds.Waiters, c.Bounds.Asks = 10_000, 10_000, 1_000, 4_096
	if err := config.ReadFile(path, c, c.check); err != nil {
		return nil, err
	}
	if !filepath.IsAbs(c.Data) {
		c.Data = filepath.Join(filepath.Dir(path), c.Data)
	}
	return c, nil
}

func (c *Config) check() []error {
	var faults config.Faults
	require, address := faults.Require, faults.RequireAddress
	address("listen", c.Listen)
	require(c.Data != "", "data: the folder of the log must be set")
	require(c.Name != "" && !strings.ContainsAny(c.Name, " /"), "name: %q is empty or contains a space or a slash", c.Name)
	require(c.Life.Duration >= time.Second && c.Life.Duration <= 10*time.Minute, "longest_life: %v is not from 1s to 10m", c.Life.Duration)
	require(c.Drift >= 0 && c.Drift <= 0.2, "drift: %g is not from 0 to 0.2", c.Drift)
	require(c.Entries >= 100, "snapshot_entries: %d is below 100", c.Entries)
	for key, n := range map[string]int{"sessions": c.Bounds.Sessions, "leases": c.Bounds.Leases, "waiters": c.Bounds.Waiters, "asks": c.Bounds.Asks} {
		require(n >= 1, "bounds: %s must be at least 1", key)
	}
	n := len(c.Peers)
	require(n <= 5 && (n == 0 || n%2 == 1), "coordinator: %d are listed; a group has 1, 3 or 5", n)
	names, addresses, own := map[string]bool{}, map[string]bool{}, n == 0
	for i, p := range c.Peers {
		require(p.Name != "" && !names[p.Name], "coordinator %d: the name %q is empty or listed twice", i+1, p.Name)
		address(fmt.Sprintf("coordinator %d: address", i+1), p.Address)
		require(!addresses[p.Address], "coordinator %d: the address %q is listed twice", i+1, p.Address)
		names[p.Name], addresses[p.Address] = true, true
		own = own || p.Name == c.Name
	}
	require(own, "coordinator: none of those listed has the name %q", c.Name)
	return faults
}

// initialPeers returns the coordinators that a new group starts with. Their IDs start at 1.
func (c *Config) initialPeers() (all []Peer) {
	if len(c.Peers) == 0 {
		return []Peer{{ID: 1, Name: c.Name, Address: c.Listen}}
	}
	for i, p := range c.Peers {
		all = append(all, Peer{ID: uint64(i + 1), Name: p.Name, Address: p.Address})
	}
	return all
}

func (c *Config) bounds() lease.Bounds {
	return lease.Bounds{Sessions: c.Bounds.Sessions, Leases: c.Bounds.Leases, Waiters: c.Bounds.Waiters}
}
