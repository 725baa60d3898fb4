// Command savoryd is the dispatcher. One process runs on each entry instance, that is, on each machine that accepts
// callers' requests.
package main

import (
	"os"

	"github.com/savorypass/savorypass/internal/entry"
)

func main() { os.Exit(entry.Main()) }
