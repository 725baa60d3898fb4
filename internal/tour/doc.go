// Package tour holds the scripted form of docs/getting-started.md: the path of a new team with the real programs, from
// the questionnaire to a planned stop.
package tour
