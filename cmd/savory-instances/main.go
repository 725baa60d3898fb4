// Command savory-instances is a stand-in for the platform's instance list.
package main

import (
	"os"

	"github.com/savorypass/savorypass/internal/standin"
	"github.com/savorypass/savorypass/internal/standin/instances"
)

func main() {
	o := instances.DefaultOptions()
	os.Exit(standin.Main("savory-instances", &o, func() (standin.Process, error) { return instances.Start(o) }))
}
