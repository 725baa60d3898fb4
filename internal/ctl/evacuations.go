package ctl

import (
	"fmt"
	"maps"
	"slices"

	"github.com/savorypass/savorypass/internal/dump"
)

// evacuations returns one line for each zone that an instance takes for evacuated, with the instances that do not know of it, and one for each
// record that names no zone of the deployment.
func evacuations(all []dump.Instance) []string {
	knowing, foreign := map[string]int{}, map[string]bool{}
	for _, d := range all {
		for _, zone := range d.Evacuations.Zones {
			knowing[zone]++
		}
		for _, zone := range d.Evacuations.Foreign {
			foreign[zone] = true
		}
	}
	var lines []string
	for _, zone := range slices.Sorted(maps.Keys(knowing)) {
		line := fmt.Sprintf("%s is evacuated", zone)
		if knowing[zone] < len(all) {
			line += fmt.Sprintf("; unknown to %v", notKnowing(all, zone))
		}
		lines = append(lines, line)
	}
	for _, zone := range slices.Sorted(maps.Keys(foreign)) {
		lines = append(lines, fmt.Sprintf("a record evacuates %q, which is no zone of the deployment", zone))
	}
	return lines
}

// notKnowing returns the instances that do not know that a zone is evacuated.
func notKnowing(all []dump.Instance, zone string) []string {
	var names []string
	for _, d := range all {
		if !slices.Contains(d.Evacuations.Zones, zone) {
			names = append(names, d.Instance)
		}
	}
	return names
}
