package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Exit statuses of the commands.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitInvalid  = 2
	ExitConflict = 3
)

// historyLimit is the number of edits read to describe a conflict or an evacuation.
const historyLimit = 100

// commandTimeout limits the duration of one command.
const commandTimeout = 30 * time.Second

// Access holds the flags for access to the platform's services.
type Access struct {
	Store    string `arg:"--store,env:GAUGEYARD_STORE" help:"URL of the key-value service"`
	Machines string `arg:"--machines,env:GAUGEYARD_MACHINES" help:"URL of the machine list"`
	Author   string `arg:"--author,env:GAUGEYARD_AUTHOR" default:"operator" help:"who makes the edit, for history"`
	JSON     bool   `arg:"--json" help:"print JSON"`
}

// GetCommand prints effective values and the node that sets each.
type GetCommand struct {
	Access
	Path string `arg:"positional" default:"/" help:"service/zone/group/backend; / is the root"`
	Key  string `arg:"positional" help:"one setting; default: all"`
	YAML bool   `arg:"--yaml" help:"print the whole tree as a file for apply"`
}

// SetCommand sets values on a node.
type SetCommand struct {
	Access
	Base   uint64   `arg:"--base" help:"refuse the edit unless this revision is the newest"`
	Path   string   `arg:"positional,required"`
	Values []string `arg:"positional,required" placeholder:"KEY=VALUE"`
}

// UnsetCommand removes a node's own values, so that it inherits them, or removes the node.
type UnsetCommand struct {
	Access
	Base uint64   `arg:"--base" help:"refuse the edit unless this revision is the newest"`
	Path string   `arg:"positional,required"`
	Keys []string `arg:"positional" help:"settings; none removes the node and everything below it"`
}

// ApplyCommand replaces the tree by the contents of a file.
type ApplyCommand struct {
	Access
	Base uint64 `arg:"--base" help:"refuse the edit unless this revision is the newest"`
	File string `arg:"positional,required"`
}

// DiffCommand prints the changes that ApplyCommand would make.
type DiffCommand struct {
	Access
	File string `arg:"positional,required"`
}

// HistoryCommand lists accepted edits, newest first.
type HistoryCommand struct {
	Access
	Limit int `arg:"--limit" default:"20"`
}

// ValidateCommand checks a file without access to the store.
type ValidateCommand struct {
	JSON bool   `arg:"--json" help:"print JSON"`
	File string `arg:"positional,required"`
}

// DrainCommand stops new flows to a back end; UndrainCommand allows them again.
type DrainCommand struct {
	Access
	Path string `arg:"positional,required" help:"service/zone/group/backend"`
}

// RepublishCommand writes the settings in force back to a store that lost them.
type RepublishCommand struct{ Access }

// Command is an operators' command.
type Command interface {
	// Run executes the command and prints to out.
	Run(ctx context.Context, out io.Writer) error
}

func (a Access) session() (*Session, error) {
	if a.Store == "" {
		return nil, Invalid.New("--store is missing (or GAUGEYARD_STORE); allowed: http URL")
	}
	return newSession(a), nil
}

// Execute runs a command, prints its error if any, and returns the exit status.
func Execute(command Command, out, errOut io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	err := command.Run(ctx, out)
	var conflict *ConflictError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &conflict):
		fmt.Fprintln(errOut, conflict.Error())
		for _, change := range conflict.Changes {
			fmt.Fprintln(errOut, "  "+change.String())
		}
		return ExitConflict
	case Invalid.Has(err):
		fmt.Fprintln(errOut, err)
		return ExitInvalid
	}
	fmt.Fprintln(errOut, err)
	return ExitFailed
}

// print writes value as JSON if --json is set, else calls text to write it as a table.
func (a Access) print(out io.Writer, value any, text func(io.Writer)) error {
	return printAs(a.JSON, out, value, text)
}

func printAs(asJSON bool, out io.Writer, value any, text func(io.Writer)) error {
	if asJSON {
		return json.NewEncoder(out).Encode(value)
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	text(table)
	return table.Flush()
}
