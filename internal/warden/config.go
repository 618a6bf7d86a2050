package warden

import (
	"strings"
	"time"

	"junctionring/internal/config"
)

// Config is the configuration file of a warden.
type Config struct {
	Name         string            `toml:"name"` // of the registry
	Site         string            `toml:"site"`
	Coordinators []string          `toml:"coordinators"`
	Via          map[string]string `toml:"via"`      // by a coordinator's own address: the address to reach it at, if different
	Life         config.Duration   `toml:"life"`     // of the session; after a warden's crash no other takes over for this long
	Registry     string            `toml:"registry"` // host:port
	Health       string            `toml:"health"`   // path of a server's health check, which returns 200
	Capacity     float64           `toml:"capacity"` // requests per second of a server of weight 1 once it is warm
	Warm         config.Duration   `toml:"warm"`     // time from a server's start until it is warm
	Look         config.Duration   `toml:"look"`     // interval between health checks, and their time-out
}

// LoadConfig reads and checks a warden's configuration file. The error names every invalid key.
func LoadConfig(path string) (*Config, error) {
	c := &Config{Health: "/health/live"}
	c.Life.Duration, c.Warm.Duration, c.Look.Duration = 5*time.Second, 18*time.Second, 500*time.Millisecond
	return c, config.ReadFile(path, c, c.check)
}

func (c *Config) check() []error {
	var faults config.Faults
	require, address := faults.Require, faults.RequireAddress
	require(c.Name != "" && !strings.ContainsAny(c.Name, " /"), "name: %q is not a valid name", c.Name)
	require(len(c.Coordinators) > 0, "coordinators: none is named")
	for _, a := range c.Coordinators {
		address("coordinators", a)
	}
	address("registry", c.Registry)
	require(strings.HasPrefix(c.Health, "/"), "health: %q is no path", c.Health)
	require(c.Life.Duration >= time.Second, "life: %v is below 1s", c.Life.Duration)
	require(c.Capacity > 0, "capacity: %g must be above 0", c.Capacity)
	require(c.Warm.Duration >= 0 && c.Look.Duration >= 50*time.Millisecond, "warm must be 0 or more, look 50ms or more")
	return faults
}
