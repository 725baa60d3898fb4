package node

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/lead"
)

// silentLog returns a log that writes nothing.
func silentLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// routerOf returns the router of an instance of the zone north, whose jobs may overflow to the zone south. l finds the
// dispatchers.
func routerOf(l *lead.Controller) *router {
	return &router{
		ownZone: "north", others: []string{"south"}, lead: l, divisions: division.New(division.Options{}), log: silentLog(), address: "127.0.0.1:1",
		routes: map[string]*uplinkRoute{}, failed: map[string]time.Time{},
		gateway: gateway.New(gateway.Options{Config: &catalog.Current{}, Log: silentLog()}),
	}
}
