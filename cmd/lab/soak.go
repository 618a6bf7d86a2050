package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/schollz/progressbar/v3"

	"junctionring/internal/lab/soak"
)

type soakCommand struct {
	From    uint64        `default:"1" help:"The first seed."`
	Seeds   int           `default:"1" help:"How many seeds, one after another."`
	Length  time.Duration `default:"12s" help:"For which clients send, in each run."`
	Out     string        `default:"found/soak" help:"Folder for logs and reports; a seed whose report is there is not played again."`
	Program string        `help:"The gateway; default: junctionring beside this program."`
	HeldUp  bool          `help:"Hold all gateways up again and again, beside the other faults."`
	Twice   bool          `help:"Have all servers answer twice for a part of each second, beside the other faults."`
	Rushes  bool          `help:"Have clients send small or unsound requests to all gateways at full speed, beside the other faults."`
	Faults  bool          `help:"Print the faults of the first seed, and play nothing."`
}

func (c soakCommand) Run(ctx context.Context) error {
	if c.Faults {
		for _, f := range c.draw(c.From).Faults {
			fmt.Println(f)
		}
		return nil
	}
	var err error
	if c.Program, err = builtGateway(c.Program); err != nil {
		return err
	}
	total := soak.NewSummary()
	bar := progressbar.Default(int64(c.Seeds), "seeds")
	for n := range c.Seeds {
		if err := c.play(ctx, c.From+uint64(n), total); err != nil {
			return err
		}
		bar.Add(1)
	}
	fmt.Print(total)
	if total.Broken() > 0 {
		return fmt.Errorf("%d seeds broke a rule; their reports are in %s", total.Broken(), c.Out)
	}
	return nil
}

// draw is the plan of a seed.
func (c soakCommand) draw(seed uint64) soak.Plan {
	p := soak.Draw(seed, c.Length)
	if c.HeldUp {
		p = p.HeldUp()
	}
	if c.Twice {
		p = p.AnsweredTwice()
	}
	if c.Rushes {
		p = p.Rushed()
	}
	return p
}

// play plays one seed, or takes its report where there is one already.
func (c soakCommand) play(ctx context.Context, seed uint64, total *soak.Summary) error {
	dir := filepath.Join(c.Out, fmt.Sprintf("seed-%d", seed))
	path := filepath.Join(dir, "report.json")
	if report, err := soak.ReadReport(path); err == nil && report.Length == c.Length {
		total.Add(report)
		return nil
	}
	result, err := soak.Run(ctx, c.draw(seed), []string{c.Program}, dir)
	if err != nil {
		return err
	}
	report := result.Report()
	total.Add(report)
	if len(report.Breaks) > 0 {
		fmt.Fprint(os.Stderr, "\n"+result.Story()+c.again(ctx, seed, dir))
	}
	return report.Write(path)
}

// again plays a seed that broke a rule some times more, and without one fault after another, and says what came of it.
func (c soakCommand) again(ctx context.Context, seed uint64, dir string) string {
	const replays = 3
	p := c.draw(seed)
	breaks := func(p soak.Plan) bool {
		result, err := soak.Run(ctx, p, []string{c.Program}, filepath.Join(dir, "again"))
		return err == nil && len(result.Breaks) > 0
	}
	came := 0
	for range replays {
		if breaks(p) {
			came++
		}
	}
	text := fmt.Sprintf("it came again in %d of %d replays of: lab soak --from %d --length %v --held-up=%t --twice=%t --rushes=%t\n", came, replays, seed, c.Length, c.HeldUp, c.Twice, c.Rushes)
	if came == 0 {
		return text
	}
	text += "a smaller schedule that still breaks a rule:\n"
	for _, f := range soak.Shrink(p, breaks).Faults {
		text += "  " + f.String() + "\n"
	}
	return text
}
