// Package soak runs instances of savorypass as separate processes against stand-ins for the platform's store, endpoints and
// callers, injects random faults from outside, and checks what callers and endpoints have seen. All of it is in the
// package's tests; docs/scenarios.md describes faults, checks and how to replay a seed.
package soak
