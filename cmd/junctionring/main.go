// Command junctionring is the gateway. Without a sub-command it serves the platform.
package main

import (
	"fmt"
	"runtime/debug"

	"github.com/alecthomas/kong"
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

func main() {
	var cli struct {
		Serve   serveCommand   `cmd:"" help:"Serve the platform's protocol, as EDGE_CONFIG says."`
		Version versionCommand `cmd:"" help:"Print the version."`
	}
	k := kong.Parse(&cli, kong.Name("junctionring"), kong.Description("A quota-keeping gateway."))
	k.FatalIfErrorf(k.Run())
}
