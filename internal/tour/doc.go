// Package tour tests the steps of docs/getting-started.md with a script that runs the real programs, from the questionnaire
// to a planned stop.
package tour
