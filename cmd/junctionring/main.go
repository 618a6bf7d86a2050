// Command junctionring is the gateway: it serves the platform's protocol, or forward authentication.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"junctionring/internal/config"
)

type versionCommand struct{}

func (versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Println("junctionring", version)
	return nil
}

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"An operator's file (TOML) or a platform configuration (JSON)."`
}

func (c checkCommand) Run() error {
	var err error
	if strings.HasSuffix(c.File, ".json") {
		_, err = config.LoadPlatform(c.File)
	} else {
		_, err = config.LoadOperator(c.File)
	}
	if err == nil {
		fmt.Println(c.File, "is in order")
	}
	return err
}

// beside is a command of the program fleet, which stands beside this one: a gateway carries none of what it needs.
type beside struct {
	Args []string `arg:"" optional:""`
}

func (b beside) Run(k *kong.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	program := filepath.Join(filepath.Dir(self), "fleet")
	args := append([]string{"junctionring", k.Selected().Name}, b.Args...)
	err = syscall.Exec(program, args, append(os.Environ(), "JUNCTIONRING_NAME=junctionring"))
	return fmt.Errorf("%s can't be started (go build -o bin/ ./cmd/...): %w", program, err)
}

func main() {
	var cli struct {
		Serve   serveCommand   `cmd:"" help:"Serve the platform's protocol or, with an operator's file, forward authentication."`
		Check   checkCommand   `cmd:"" help:"Check a configuration file."`
		Config  configCommand  `cmd:"" help:"Show or set the configuration version of a running gateway."`
		Version versionCommand `cmd:"" help:"Print the version."`

		Coordinator beside `cmd:"" passthrough:"" help:"Run a coordinator, or look after the group of them."`
		Lease       beside `cmd:"" passthrough:"" help:"List, hold and take away leases."`
		Fleet       beside `cmd:"" passthrough:"" help:"Who is there, releases, and the budget that holds them."`
		Agent       beside `cmd:"" passthrough:"" help:"Stand beside one gateway, and replace it under a permit."`
	}
	k := kong.Parse(&cli, kong.Name("junctionring"), kong.Description("A quota-keeping gateway."))
	k.FatalIfErrorf(k.Run(k))
}
