// Command wirehost runs the decision module over the simulator's text protocol on standard input and output.
package main

import (
	"fmt"
	"os"

	"gaugeslip/internal/wire"
)

func main() {
	if err := wire.NewHost(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
