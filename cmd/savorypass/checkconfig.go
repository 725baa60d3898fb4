package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/savorypass/savorypass/internal/catalogcheck"
	"github.com/savorypass/savorypass/internal/daemon"
	"github.com/savorypass/savorypass/platform"
)

// readInForceTimeout bounds the read of the configuration in force.
const readInForceTimeout = 3 * time.Second

// checkConfig checks a configuration of queues that is about to be written, prints the findings and the differences from the version
// in force, and returns the exit code.
func checkConfig(o options, out, problems io.Writer) int {
	next, err := readDocument(o.CheckConfig)
	if err != nil {
		fmt.Fprintln(problems, err)
		return daemon.ExitFailure
	}
	findings := catalogcheck.Check(next, platform.CheckBounds())
	inForce, err := documentInForce(o)
	if err != nil {
		fmt.Fprintln(problems, "the version in force is not known:", err)
		inForce = nil
	}
	if inForce != nil {
		findings = append(findings, catalogcheck.CheckSuccessor(inForce, next)...)
	}
	for _, f := range findings {
		fmt.Fprintln(out, f)
	}
	if inForce != nil {
		printChanges(out, inForce, next)
	}
	if err != nil || catalogcheck.HasErrors(findings) {
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}

func printChanges(out io.Writer, inForce, next *catalogcheck.Document) {
	fmt.Fprintf(out, "version %d -> %d\n", inForce.Version, next.Version)
	for _, line := range catalogcheck.Changes(inForce, next) {
		fmt.Fprintln(out, line)
	}
}

func readDocument(path string) (*catalogcheck.Document, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return platform.DecodeForCheck(raw)
}

// documentInForce returns the configuration in force: that of a file if one is named, otherwise that of the store of the settings.
// It is nil if the store has none.
func documentInForce(o options) (*catalogcheck.Document, error) {
	if o.InForce != "" {
		return readDocument(o.InForce)
	}
	settings, err := platform.ReadSettings(o.Settings)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readInForceTimeout)
	defer cancel()
	raw, err := platform.ReadConfigInForce(ctx, platform.NewStore(settings.Store, nil))
	if err != nil || raw == nil {
		return nil, err
	}
	return platform.DecodeForCheck(raw)
}
