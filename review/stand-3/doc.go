//go:build review

// Command stand-3 plays the cases of the third review: it starts instances of savorypass as processes against the project's stand-ins
// of the store and of the endpoints, makes the requests of callers, and judges one rule by what callers, endpoints and the store saw.
// Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main
