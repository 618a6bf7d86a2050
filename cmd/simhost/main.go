// Command simhost runs many instances of the decision module behind the
// bench's wire: JSON lines on standard input, replies on standard output.
package main

import (
	"fmt"
	"os"

	"junctionring/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
