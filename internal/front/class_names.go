package front

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"

	"junctionring/control"
)

// CheckClassNames returns an error for the first class that no request could address. A request names its class by
// the first segment of the path in its request line, unescaped. An empty name stands for a class that requests may
// no longer address.
func CheckClassNames(names []string) error {
	lookup := &Names{Classes: names, Repeats: make([]control.Repeat, len(names))} // all Safe, so a GET addresses each
	for _, name := range names {
		if name == "" {
			continue
		}
		if err := checkClassName(lookup, name); err != nil {
			return fmt.Errorf("the class name %q cannot be the first part of a path in a request line: %w", name, err)
		}
	}
	return nil
}

func checkClassName(names *Names, name string) error {
	line := "GET /" + name + "/1 HTTP/1.1\r\nHost: gateway\r\n\r\n"
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line)))
	if err != nil {
		return err
	}
	found, err := names.Class(request)
	if err != nil {
		return err
	}
	if names.Classes[found] != name {
		return fmt.Errorf("the request line resolves to another class, %q", names.Classes[found])
	}
	return nil
}
