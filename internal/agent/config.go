package agent

import (
	"path/filepath"
	"strings"
	"time"

	"junctionring/internal/config"
)

// Config is the configuration file of an agent.
type Config struct {
	Name         string            `toml:"name"` // of the gateway, and of the agent as a member of the fleet
	Site         string            `toml:"site"`
	Zone         string            `toml:"zone"`
	Capacity     float64           `toml:"capacity"` // requests per second that the gateway can serve
	Coordinators []string          `toml:"coordinators"`
	Via          map[string]string `toml:"via"`   // by a coordinator's own address: the address to reach it at, if different
	Life         config.Duration   `toml:"life"`  // of the agent's session; if the agent is silent for longer, the gateway counts as out
	State        string            `toml:"state"` // file that identifies the running process to the next agent
	Program      struct {
		Versions   string            `toml:"versions"` // folder that contains VERSION/NAME and VERSION/SHA256 for each version
		Version    string            `toml:"version"`  // version that runs first
		Name       string            `toml:"name"`
		Args       []string          `toml:"args"`
		Env        map[string]string `toml:"env"`
		Management []string          `toml:"management"` // two addresses, used in turn by the old and the new process
		Ready      config.Duration   `toml:"ready_within"`
		Drain      config.Duration   `toml:"drain"` // time from SIGTERM to SIGKILL
		Learn      config.Duration   `toml:"learn"` // time after which a new process serves its full share
	} `toml:"program"`
	Configuration struct {
		Folder  string `toml:"folder"`  // contains NAME/config.toml and NAME/SHA256 for each configuration; empty: none is rolled out
		Version string `toml:"version"` // NAME of the first configuration
	} `toml:"configuration"`
}

// LoadConfig reads and checks an agent's configuration file. The error names every invalid key.
func LoadConfig(path string) (*Config, error) {
	c := &Config{Capacity: 100}
	c.Life.Duration = 5 * time.Second
	c.Program.Name, c.Program.Args = "junctionring", []string{"serve"}
	c.Program.Ready.Duration, c.Program.Drain.Duration, c.Program.Learn.Duration = 10*time.Second, 30*time.Second, 4*time.Second
	if err := config.ReadFile(path, c, c.check); err != nil {
		return nil, err
	}
	for _, p := range []*string{&c.State, &c.Program.Versions, &c.Configuration.Folder} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return c, nil
}

func (c *Config) check() []error {
	var faults config.Faults
	require, address := faults.Require, faults.RequireAddress
	p := &c.Program
	require(c.Name != "" && !strings.ContainsAny(c.Name, " /"), "name: %q is not a valid name", c.Name)
	require(c.Capacity > 0, "capacity: %g must be above 0", c.Capacity)
	require(len(c.Coordinators) > 0, "coordinators: none is named")
	for _, a := range c.Coordinators {
		address("coordinators", a)
	}
	require(c.Life.Duration >= time.Second, "life: %v is below 1s", c.Life.Duration)
	require(c.State != "", "state: the path of the state file is missing")
	require(p.Versions != "", "program: versions: the folder of versions is missing")
	require(p.Version != "" && !strings.ContainsAny(p.Version, "/ "), "program: version: %q is not a valid version", p.Version)
	require(p.Name != "" && !strings.Contains(p.Name, "/"), "program: name: %q is not a valid file name", p.Name)
	require(len(p.Management) == 2 && p.Management[0] != p.Management[1], "program: management: must be two different addresses, for the old process and the new one")
	for _, a := range p.Management {
		address("program: management", a)
	}
	require((c.Configuration.Folder == "") == (c.Configuration.Version == ""), "configuration: folder and version must be set together")
	require(p.Ready.Duration > 0 && p.Drain.Duration > 0 && p.Learn.Duration >= 0, "program: ready_within and drain must be above 0, learn 0 or more")
	return faults
}
