// Command junctionring is the gateway: it serves the platform's protocol, or forward authentication.
package main

import (
	"fmt"
	"runtime/debug"
	"strings"

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

func main() {
	var cli struct {
		Serve   serveCommand   `cmd:"" help:"Serve the platform's protocol or, with an operator's file, forward authentication."`
		Check   checkCommand   `cmd:"" help:"Check a configuration file."`
		Config  configCommand  `cmd:"" help:"Show or set the configuration version of a running gateway."`
		Version versionCommand `cmd:"" help:"Print the version."`
	}
	k := kong.Parse(&cli, kong.Name("junctionring"), kong.Description("A quota-keeping gateway."))
	k.FatalIfErrorf(k.Run())
}
