package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"junctionring/internal/standin/controlservice"
)

type controlCommand struct {
	bounded
	Listen string `default:"127.0.0.1:18000"`
}

const controlHelp = "push NUMBER FILE, rollback NUMBER FILE, cut NUMBER FILE (half of it), stall, go on, vanish or who"

func (c controlCommand) Run(ctx context.Context) error {
	s, err := controlservice.New(c.Listen)
	if err != nil {
		return err
	}
	defer s.Vanish()
	fmt.Println("control service", s.Addr())
	fmt.Println(controlHelp)
	told := 0
	return c.stay(ctx, func(line string) error {
		words := strings.Fields(line)
		switch {
		case line == "stall":
			s.Stall(true)
		case line == "go on":
			s.Stall(false)
		case line == "vanish":
			s.Vanish()
		case line == "who":
			for node, v := range s.Nodes() {
				fmt.Println(node, "runs", v)
			}
			all := s.Answers()
			for _, a := range all[told:] {
				if a.Reason == "" {
					a.Reason = "taken"
				}
				fmt.Printf("%s, version %d after %v: %s\n", a.Node, a.Number, a.Took, a.Reason)
			}
			told = len(all)
		case len(words) == 3:
			number, err := strconv.ParseInt(words[1], 10, 64)
			if err != nil {
				return fmt.Errorf("%q is no number", words[1])
			}
			text, err := os.ReadFile(words[2])
			if err != nil {
				return err
			}
			if words[0] == "cut" {
				text = text[:len(text)/2]
			} else if words[0] != "push" && words[0] != "rollback" {
				return fmt.Errorf("%q is not %s", line, controlHelp)
			}
			s.Push(number, string(text), words[0] == "rollback")
		default:
			return fmt.Errorf("%q is not %s", line, controlHelp)
		}
		return nil
	})
}
