// Command savory-bench runs benchmarks of the dispatcher on one machine.
package main

import (
	"os"

	"github.com/savorypass/savorypass/internal/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:]))
}
