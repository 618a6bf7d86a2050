package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"junctionring/internal/operations"
)

// configCommand speaks to the operations listener of a running gateway.
type configCommand struct {
	Show    configShow    `cmd:"" help:"Show the document in force, or that of a version that is still kept."`
	History configHistory `cmd:"" help:"List the versions and what became of them."`
	Diff    configDiff    `cmd:"" help:"Compare a file with the document in force, line by line."`
	Push    configPush    `cmd:"" help:"Offer a file as a version, and say whether it was taken."`
	Pin     configPin     `cmd:"" help:"Keep the version in force, whatever is offered."`
	Unpin   configUnpin   `cmd:"" help:"Take what is offered again."`
}

// at is the gateway that is spoken to.
type at struct {
	At string `default:"127.0.0.1:9082" help:"The gateway's operations listener."`
}

// call makes one call; an answer other than 200 is an error that says the gateway's own words.
func (a at) call(method, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequest(method, "http://"+a.At+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: 40 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return text, nil
}

func (a at) config(method, path string, body []byte) (c operations.Config, err error) {
	text, err := a.call(method, path, body)
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	return c, err
}

func say(c operations.Config) {
	fmt.Printf("version %d in force for %.0f s", c.Version, c.Age)
	if c.Pinned {
		fmt.Print(", pinned")
	}
	fmt.Println()
}

type configShow struct {
	at
	Version int64 `default:"-1" help:"A version's number; default: the one in force."`
}

func (c configShow) Run() error {
	path := "/config/document"
	if c.Version >= 0 {
		path += fmt.Sprintf("?version=%d", c.Version)
	}
	text, err := c.call(http.MethodGet, path, nil)
	if err == nil {
		os.Stdout.Write(text)
	}
	return err
}

type configHistory struct{ at }

func (c configHistory) Run() error {
	now, err := c.config(http.MethodGet, "/config", nil)
	if err != nil {
		return err
	}
	say(now)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, h := range now.History {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", h.Version, h.State, h.Source, h.Reason)
	}
	return w.Flush()
}

type configDiff struct {
	at
	File string `arg:"" type:"existingfile"`
}

func (c configDiff) Run() error {
	have, err := c.call(http.MethodGet, "/config/document", nil)
	if err != nil {
		return err
	}
	want, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	for _, line := range difference(strings.Split(string(have), "\n"), strings.Split(string(want), "\n")) {
		fmt.Println(line)
	}
	return nil
}

// difference lists the lines that only one side has, by the longest common run of lines.
func difference(have, want []string) (out []string) {
	common := make([][]int, len(have)+1)
	for i := range common {
		common[i] = make([]int, len(want)+1)
	}
	for i := len(have) - 1; i >= 0; i-- {
		for j := len(want) - 1; j >= 0; j-- {
			if have[i] == want[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	for i, j := 0, 0; i < len(have) || j < len(want); {
		switch {
		case i < len(have) && j < len(want) && have[i] == want[j]:
			i, j = i+1, j+1
		case j == len(want) || i < len(have) && common[i+1][j] >= common[i][j+1]:
			out, i = append(out, "- "+have[i]), i+1
		default:
			out, j = append(out, "+ "+want[j]), j+1
		}
	}
	return out
}

type configPush struct {
	at
	File     string `arg:"" type:"existingfile"`
	Version  int64  `required:"" help:"The version's number."`
	Rollback bool   `help:"It may take the place of a newer one."`
}

func (c configPush) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	now, err := c.config(http.MethodPost, fmt.Sprintf("/config?version=%d&rollback=%t", c.Version, c.Rollback), text)
	if err == nil {
		say(now)
	}
	return err
}

type configPin struct{ at }

func (c configPin) Run() error { return c.set("/config/pin") }

type configUnpin struct{ at }

func (c configUnpin) Run() error { return c.set("/config/unpin") }

func (a at) set(path string) error {
	now, err := a.config(http.MethodPost, path, nil)
	if err == nil {
		say(now)
	}
	return err
}
