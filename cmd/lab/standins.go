package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"junctionring/internal/lab"
	"junctionring/internal/standin"
)

// bounded ends a stand-in by itself: none is left behind on a machine.
type bounded struct {
	For time.Duration `default:"10m" help:"After this it ends by itself."`
}

// stay waits for the end, or carries out lines of standard input until then.
func (b bounded) stay(ctx context.Context, each func(line string) error) error {
	ctx, cancel := context.WithTimeout(ctx, min(b.For, time.Hour))
	defer cancel()
	if each != nil {
		go func() {
			in := bufio.NewScanner(os.Stdin)
			for in.Scan() {
				if err := each(strings.TrimSpace(in.Text())); err != nil {
					fmt.Fprintln(os.Stderr, err)
				}
			}
		}()
	}
	<-ctx.Done()
	return nil
}

type tablesCommand struct {
	bounded
	Listen []string      `default:"127.0.0.1:9101,127.0.0.1:9102" help:"Addresses, one for each server."`
	Site   string        `default:"near"`
	Cores  int           `default:"3"`
	Speed  float64       `default:"1"`
	Queue  int           `default:"64" help:"Requests that may wait at each."`
	Cold   bool          `help:"They start at 15 % of their capacity."`
	Ramp   time.Duration `default:"18s"`
}

func (c tablesCommand) Run(ctx context.Context) error {
	work, keys, record := map[string]standin.Work{}, standin.NewKeys(), &standin.Record{}
	for _, class := range lab.Classes {
		work[class.Name] = standin.Work{Least: class.Least, Most: class.Most}
	}
	var tables []*standin.Table
	for i, listen := range c.Listen {
		o := standin.TableOptions{ID: fmt.Sprintf("%s-%d", c.Site, i), Site: c.Site, Cores: c.Cores, Speed: c.Speed,
			Queue: c.Queue, Work: work, Keys: keys, Record: record, Seed: uint64(i)}
		if c.Cold {
			o.ColdFrom, o.Ramp = 0.15, c.Ramp
		}
		t, err := standin.NewTable(listen, o)
		if err != nil {
			return err
		}
		defer t.Close()
		tables = append(tables, t)
		fmt.Println(o.ID, t.Addr())
	}
	return c.stay(ctx, func(line string) error {
		for _, t := range tables {
			switch line {
			case "drain":
				t.Drain()
			case "silence":
				t.Silence()
			case "speak":
				t.Speak()
			case "crash":
				t.Crash()
			case "record":
			default:
				return fmt.Errorf("%q is not drain, silence, speak, crash or record", line)
			}
		}
		fmt.Printf("%d arrivals, %d keys ran twice, %d fell\n", len(record.All()), len(record.TwiceRun()), len(record.Fallen()))
		return nil
	})
}

type storeCommand struct {
	bounded
	Listen string `default:"127.0.0.1:6379"`
}

func (c storeCommand) Run(ctx context.Context) error {
	s, err := standin.NewStore(c.Listen)
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Println("store", s.Addr())
	return c.stay(ctx, func(line string) error {
		switch line {
		case "empty":
			s.Empty()
		case "silence":
			s.Silence()
		default:
			return fmt.Errorf("%q is not empty or silence", line)
		}
		return nil
	})
}

type registryCommand struct {
	bounded
	Listen string   `default:"127.0.0.1:9500"`
	Server []string `help:"Entries: ID,HOST:PORT,ZONE." sep:"none"`
}

func (c registryCommand) Run(ctx context.Context) error {
	r, err := standin.NewRegistry(c.Listen)
	if err != nil {
		return err
	}
	defer r.Close()
	put := func(entry, state string) error {
		f := strings.Split(entry, ",")
		if len(f) != 3 {
			return fmt.Errorf("%q is not ID,HOST:PORT,ZONE", entry)
		}
		r.Put(standin.Instance{ID: f[0], HostPort: f[1], Zone: f[2], Lifecycle: state, Weight: 1})
		return nil
	}
	for _, e := range c.Server {
		if err := put(e, "SERVING"); err != nil {
			return err
		}
	}
	fmt.Println("registry", r.Addr())
	return c.stay(ctx, func(line string) error {
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "put":
			return put(rest, "SERVING")
		case "drain":
			r.Drain(strings.Fields(rest)...)
		case "remove":
			return put(rest, "DELETED")
		default:
			return fmt.Errorf("%q is not put ENTRY, drain ID... or remove ENTRY", line)
		}
		return nil
	})
}

type linkCommand struct {
	bounded
	Ends   []string      `arg:"" help:"NEAR=FAR addresses." sep:"none"`
	Delay  time.Duration `default:"40ms"`
	Jitter time.Duration `default:"2ms"`
	Loss   float64       `default:"0.02"`
	Seed   uint64        `default:"1"`
}

func (c linkCommand) Run(ctx context.Context) error {
	l := standin.NewLink(standin.LinkOptions{Delay: c.Delay, Jitter: c.Jitter, Loss: c.Loss, Seed: c.Seed})
	defer l.Close()
	for _, e := range c.Ends {
		near, far, ok := strings.Cut(e, "=")
		if !ok {
			return fmt.Errorf("%q is not NEAR=FAR", e)
		}
		address, err := l.ToFrom(near, far)
		if err != nil {
			return err
		}
		fmt.Println("link", address, "to", far)
	}
	return c.stay(ctx, func(line string) error {
		switch line {
		case "silence":
			l.Silence()
		case "cut":
			l.Cut()
		case "heal":
			return l.Heal()
		default:
			return fmt.Errorf("%q is not silence, cut or heal", line)
		}
		return nil
	})
}

type checkerCommand struct {
	bounded
	Listen string `default:"127.0.0.1:9091"`
}

func (c checkerCommand) Run(ctx context.Context) error {
	address, stop, err := standin.NewChecker(c.Listen)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Println("checker", address)
	return c.stay(ctx, nil)
}

type loadCommand struct {
	Gateways []string      `arg:"" help:"Addresses of gateways, on loopback."`
	Rate     float64       `default:"50" help:"Requests a second."`
	For      time.Duration `default:"10s"`
	Accounts int           `default:"50"`
	Plan     string        `default:"club"`
	Site     string        `default:"near" help:"The site that counts as near."`
	Out      string        `help:"File for the raw series (CSV)."`
	Seed     uint64        `default:"1"`
}

func (c loadCommand) Run(ctx context.Context) error {
	l := lab.Load{Name: "load", Gateways: c.Gateways, Rate: c.Rate, For: min(c.For, time.Hour), Accounts: c.Accounts, Plan: c.Plan, Seed: c.Seed}
	samples, err := l.Run(ctx, nil)
	if err != nil {
		return err
	}
	s := lab.Summarise(samples, c.Site)
	fmt.Printf("%d requests: %d served (%.3f in time, %d by another site), %d refused, %d failed, %d unanswered; p50 %v, p99 %v\n",
		s.Requests, s.Served, s.Share(), s.Crossed, s.Refused, s.Failed, s.Unanswered, s.P50, s.P99)
	if c.Out == "" {
		return nil
	}
	return lab.WriteSamples(c.Out, samples)
}
