// Package tour tests the steps of docs/getting-started.md with a script that runs the real programs, from the questionnaire
// of savory-setup to a planned stop of the deployment.
package tour
