// Command knownred is CI's reader of KNOWN-RED.txt, the list of known failures: it says what to pass over, and runs the
// listed tests beside. It is no part of the gateway.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"junctionring/internal/knownred"
)

var errListWrong = errors.New("the list doesn't say what is so")

type commands struct {
	Skip  skipCommand  `cmd:"" help:"Print the pattern for go test -skip that passes over just the listed cases."`
	Check checkCommand `cmd:"" help:"Run the listed tests and say which fail as listed, pass, or fail otherwise."`
	List  string       `default:"KNOWN-RED.txt" help:"The list."`
}

type skipCommand struct{}

func (skipCommand) Run(entries []knownred.Entry) error {
	fmt.Println(knownred.SkipPattern(entries))
	return nil
}

type checkCommand struct{}

func (checkCommand) Run(ctx context.Context, entries []knownred.Entry) error {
	wrong := 0
	for _, entry := range entries {
		if entry.Test == "" {
			fmt.Printf("not run here (issue %d): %s\n", entry.Issue, entry.Command)
			continue
		}
		result := knownred.Check(ctx, ".", entry)
		fmt.Println(result)
		if result.Wrong() {
			wrong++
			fmt.Println(result.Output)
		}
	}
	if wrong > 0 {
		return fmt.Errorf("%w: %d of its entries", errListWrong, wrong)
	}
	return nil
}

// read reads the list; a missing one holds nothing.
func read(path string) ([]knownred.Entry, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	entries, err := knownred.Parse(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return entries, nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var c commands
	parsed := kong.Parse(&c, kong.Description("Reads the list of known failures."))
	entries, err := read(c.List)
	parsed.FatalIfErrorf(err)
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run(entries))
}
