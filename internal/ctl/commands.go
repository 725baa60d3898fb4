package ctl

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

const overview = `Shows and controls the entry instances of savorypass through their operators' listeners.

Exit codes: 0 ok, 1 failed, 2 usage, 3 unreachable, 4 refused, 5 conflict, 6 carried out but not in force or not known on every instance.

The token comes from SAVORY_TOKEN, SAVORY_TOKEN_FILE or --token-file; the instances from SAVORY_ENDPOINTS or --endpoint.`

// commandSpec describes one command. A command without data only groups its subcommands.
type commandSpec struct {
	name        string
	short       string
	long        string
	data        any // holds the command's options and arguments; implements flags.Commander
	subcommands []commandSpec
}

// addCommands adds the settings and all commands to the parser.
func (a *app) addCommands() error {
	if _, err := a.parser.AddGroup("Settings of every command", "", &a.settings); err != nil {
		return err
	}
	return addCommandSpecs(a.parser.Command, a.commandSpecs())
}

func addCommandSpecs(to *flags.Command, specs []commandSpec) error {
	for _, e := range specs {
		data := e.data
		if data == nil {
			data = &struct{}{}
		}
		c, err := to.AddCommand(e.name, e.short, e.long, data)
		if err != nil {
			return fmt.Errorf("command %s: %w", e.name, err)
		}
		if err := addCommandSpecs(c, e.subcommands); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) commandSpecs() []commandSpec {
	return []commandSpec{
		{name: "config", short: "Show, compare, check and publish the configuration", subcommands: a.configCommandSpecs()},
		{
			name: "status", short: "Show every entry instance", data: &statusCommand{app: a},
			long: "Shows every entry instance with its own status, or how its peers see it when it does not answer.\n\n" +
				"Examples:\n  savoryctl status\n  savoryctl -e 10.0.0.1:7002 -o json status",
		},
		{
			name: "dispatchers", short: "Show who dispatches on the users' platform", data: &dispatchersCommand{app: a},
			long: "Asks every named instance of savorypass on the users' platform for its state and shows which partitions it " +
				"dispatches for, with their endpoints, jobs and used capacity. Needs no token; name every instance.\n\n" +
				"Examples:\n  savoryctl -e 10.1.0.20:9464 -e 10.1.0.21:9464 dispatchers\n" +
				"  savoryctl -o json -e 10.1.0.20:9464 dispatchers",
		},
		{
			name: "workers", short: "Show every worker with its owner", data: &workersCommand{app: a},
			long: "Shows the workers that the instances own.\n\n" +
				"Examples:\n  savoryctl workers\n  savoryctl workers --state held_off",
		},
		{
			name: "teams", short: "Show every team's quota, usage and work", data: &teamsCommand{app: a},
			long: "Shows each team's quota and usage, and its waiting and running tasks summed over all instances.\n\n" +
				"Example:\n  savoryctl teams",
		},
		{name: "jobs", short: "Show or cancel a job by its identity", subcommands: a.jobCommandSpecs()},
		{
			name: "submit", short: "Submit a job as a caller and print its answer", data: &submitCommand{app: a},
			long: "Gets an identity, submits the job of a JSON file under it and prints the answer. After a broken connection " +
				"the job is submitted again with the same identity, so that no task starts twice. Needs a caller's token.\n\n" +
				"Examples:\n  savoryctl submit --to 10.0.0.1:7000 job.json\n  savoryctl submit --identity ID job.json\n" +
				"  echo '{\"service\":\"washout\",\"tasks\":[{\"payload\":\"km 14\"}]}' | savoryctl submit -",
		},
		{
			name: "dump", short: "Print the state of an instance's parts", data: &dumpCommand{app: a},
			long: "Prints the state of all parts of an instance, or of one part.\n\n" +
				"Examples:\n  savoryctl -o json dump\n  savoryctl dump --instance e3 engine",
		},
		{
			name: "drain", short: "Stop an instance as planned", data: &drainCommand{app: a},
			long: "Drains an instance: it refuses new work, finishes and answers its current work, and stops. Waits until the work has ended.\n\n" +
				"Examples:\n  savoryctl drain --instance e3\n  savoryctl drain --instance e3 --yes --wait 0s",
		},
		{
			name: "top", short: "Watch the instances and teams", data: &topCommand{app: a},
			long: "Shows load, waiting times and queues, and refreshes them until it is interrupted.\n\n" +
				"Examples:\n  savoryctl top --interval 2s\n  savoryctl top --once",
		},
		{
			name: "completion", short: "Print the completion script for bash", data: &completionCommand{app: a},
			long: "Example:\n  source <(savoryctl completion)",
		},
	}
}

func (a *app) configCommandSpecs() []commandSpec {
	return []commandSpec{
		{
			name: "get", short: "Print the configuration in force", data: &configGetCommand{app: a},
			long: "Prints the document on standard output and its version on standard error.\n\n" +
				"Example:\n  savoryctl config get > config.yaml",
		},
		{
			name: "diff", short: "Compare a file with the configuration in force", data: &configDiffCommand{app: a},
			long: "Example:\n  savoryctl config diff config.yaml",
		},
		{
			name: "validate", short: "Check a file without publishing it", data: &configValidateCommand{app: a},
			long: "Lists every problem of a document; exits with 1 when there is one.\n\n" +
				"Example:\n  savoryctl config validate config.yaml",
		},
		{
			name: "publish", short: "Publish a file and wait until it is in force", data: &configPublishCommand{app: a},
			long: "Shows the difference, asks for confirmation, publishes the file as the successor of the version that it was " +
				"compared with, and waits until it is in force on every live instance. When the answer is lost, the outcome " +
				"is read from the history.\n\n" +
				"Examples:\n  savoryctl config publish config.yaml\n  savoryctl config publish --yes --replaces 41 config.yaml",
		},
		{
			name: "restore", short: "Give the log a new base after its records were lost", data: &configRestoreCommand{app: a},
			long: "Needed only when the log's retention has dropped records that no live instance has, for example after " +
				"the whole system was stopped for longer than the retention. Then 'config publish' is refused with " +
				"config_unavailable on every instance, and new instances are not ready. The file becomes the configuration " +
				"under a version above every known one. An instance that misses no record refuses with " +
				"restore_not_needed: publish instead.\n\nExample:\n  savoryctl config restore config.yaml",
		},
		{
			name: "history", short: "List the published versions", data: &configHistoryCommand{app: a},
			long: "Example:\n  savoryctl config history --max 5",
		},
	}
}

func (a *app) jobCommandSpecs() []commandSpec {
	return []commandSpec{
		{
			name: "show", short: "Show a job", data: &jobShowCommand{jobCommand{app: a}},
			long: "Asks the job's home.\n\nExample:\n  savoryctl jobs show ID",
		},
		{
			name: "cancel", short: "Cancel a job", data: &jobCancelCommand{jobCommand{app: a}},
			long: "Cancels a job at its home. Cancelling an ended job changes nothing.\n\nExample:\n  savoryctl jobs cancel ID",
		},
	}
}

// completionCommand prints a bash completion script. The script calls savoryctl itself to get the possible words.
type completionCommand struct{ app *app }

const completionScript = `_savoryctl() {
    local IFS=$'\n'
    local words=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${words[@]}"))
    return 0
}
complete -o default -F _savoryctl savoryctl
`

// Execute prints the script.
func (c *completionCommand) Execute([]string) error {
	_, err := fmt.Fprint(c.app.Out, completionScript)
	return err
}
