// Command savoryd is the dispatcher. One runs on each entry instance.
package main

import (
	"os"

	"github.com/savorypass/savorypass/internal/entry"
)

func main() { os.Exit(entry.Main()) }
