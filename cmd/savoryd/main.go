// Command savoryd is the dispatcher. Each entry instance, which accepts callers' requests, runs one process of it.
package main

import (
	"os"

	"github.com/savorypass/savorypass/internal/entry"
)

func main() { os.Exit(entry.Main()) }
