// Command fleet holds what processes of a fleet agree on: the coordinators, and the commands that speak to them. It
// is a program of its own, so that a gateway carries neither gRPC nor the log; `junctionring coordinator`, `lease`
// and `fleet` start it.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// globals are what every command may use.
type globals struct {
	ctx context.Context
	log *slog.Logger
}

func main() {
	var cli struct {
		Coordinator coordinatorCommand `cmd:"" help:"Run a coordinator, or look after the group of them."`
		Lease       leaseCommand       `cmd:"" help:"List, hold and take away leases."`
		Fleet       fleetCommand       `cmd:"" help:"Who is there, releases, and the budget that holds them."`
		Agent       agentCommand       `cmd:"" help:"Stand beside one gateway: keep it at work, and replace it under a permit."`
		Log         string             `default:"text" enum:"text,json" help:"Form of the log: text or json."`
	}
	name := "fleet"
	if own := os.Getenv("JUNCTIONRING_NAME"); own != "" {
		name = own
	}
	k := kong.Parse(&cli, kong.Name(name), kong.Description("What the processes of a fleet agree on."), kong.ShortUsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var h slog.Handler = slog.NewTextHandler(os.Stderr, nil)
	if cli.Log == "json" {
		h = slog.NewJSONHandler(os.Stderr, nil)
	}
	k.FatalIfErrorf(k.Run(&globals{ctx, slog.New(h)}))
}
