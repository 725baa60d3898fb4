// Command savory-worker is a stand-in for one or more of the platform's workers.
package main

import (
	"os"

	"github.com/savorypass/savorypass/internal/standin"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

func main() {
	o := worker.DefaultOptions()
	os.Exit(standin.Main("savory-worker", &o, func() (standin.Process, error) { return worker.Start(o) }))
}
