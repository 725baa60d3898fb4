// Command page writes the documentation page of the result codes to the file named by its argument.
package main

import (
	"fmt"
	"os"

	"github.com/savorypass/savorypass/internal/result"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: page FILE")
		os.Exit(2)
	}
	if err := os.WriteFile(os.Args[1], []byte(result.Page()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, "page:", err)
		os.Exit(1)
	}
}
