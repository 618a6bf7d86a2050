package front

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"

	"junctionring/control"
)

// CheckClassNames tells which class could not be named by a request, and why: its name is the first part of the path
// in a request line, as it is. A name of "" is that of a class which requests may not name any more.
func CheckClassNames(names []string) error {
	lookup := &Names{Classes: names, Repeats: make([]control.Repeat, len(names))} // all safe: a GET names each
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
		return fmt.Errorf("it reads as that of another class, %q", names.Classes[found])
	}
	return nil
}
