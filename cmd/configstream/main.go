// Command configstream follows control services over ADS for one gateway, and hands it each version by its
// operations listener. It is a process of its own, so that a gateway without a control service does not carry gRPC.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"junctionring/internal/controlplane"
)

func main() {
	var cli struct {
		Service []string `required:"" help:"Control services, host:port; the first that can be reached is used."`
		Gateway string   `default:"127.0.0.1:9082" help:"The gateway's operations listener."`
		Node    string   `required:"" help:"The gateway's name, as the control services know it."`

		Increments bool   `help:"Take versions as increments (delta ADS) in place of whole documents."`
		Relay      string `help:"Serve increments to the gateways of a zone here, host:port, in place of offering them to a gateway."`
	}
	k := kong.Parse(&cli, kong.Name("configstream"), kong.Description("Streams configuration versions to a gateway."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	c := controlplane.Client{Services: cli.Service, Node: cli.Node, Increments: cli.Increments || cli.Relay != "", Log: log,
		Gateway: &controlplane.API{Address: cli.Gateway}}
	if cli.Relay != "" {
		relay, stop, err := serveRelay(cli.Relay, log)
		k.FatalIfErrorf(err)
		defer stop()
		c.Gateway = relay
	}
	k.FatalIfErrorf(c.Run(ctx))
}
