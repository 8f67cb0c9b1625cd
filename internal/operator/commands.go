package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gaugeyard/internal/settings"
)

// Exit statuses of the commands.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitInvalid  = 2
	ExitConflict = 3
)

// historyLimit is how many edits are read for a conflict or listed by default.
const historyLimit = 100

// commandTimeout bounds one command.
const commandTimeout = 30 * time.Second

// Access are the flags by which a command finds the platform.
type Access struct {
	Store    string `arg:"--store,env:GAUGEYARD_STORE" help:"URL of the key-value service"`
	Machines string `arg:"--machines,env:GAUGEYARD_MACHINES" help:"URL of the machine list"`
	Author   string `arg:"--author,env:GAUGEYARD_AUTHOR" default:"operator" help:"who makes the edit, for history"`
	JSON     bool   `arg:"--json" help:"print JSON"`
}

// GetCommand prints effective values, with the node that each comes from.
type GetCommand struct {
	Access
	Path string `arg:"positional" default:"/" help:"service/zone/group/backend; / is the root"`
	Key  string `arg:"positional" help:"one setting; default: all"`
	YAML bool   `arg:"--yaml" help:"print the whole tree as a file for apply"`
}

// SetCommand gives a node values of its own.
type SetCommand struct {
	Access
	Base   uint64   `arg:"--base" help:"refuse the edit unless this revision is the newest"`
	Path   string   `arg:"positional,required"`
	Values []string `arg:"positional,required" placeholder:"KEY=VALUE"`
}

// UnsetCommand removes a node's own values, so that it inherits, or a node.
type UnsetCommand struct {
	Access
	Base uint64   `arg:"--base" help:"refuse the edit unless this revision is the newest"`
	Path string   `arg:"positional,required"`
	Keys []string `arg:"positional" help:"settings; none removes the node and everything below it"`
}

// ApplyCommand replaces the tree by a file.
type ApplyCommand struct {
	Access
	Base uint64 `arg:"--base" help:"refuse the edit unless this revision is the newest"`
	File string `arg:"positional,required"`
}

// DiffCommand prints what apply would change.
type DiffCommand struct {
	Access
	File string `arg:"positional,required"`
}

// HistoryCommand lists accepted edits, newest first.
type HistoryCommand struct {
	Access
	Limit int `arg:"--limit" default:"20"`
}

// ValidateCommand checks a file without the store.
type ValidateCommand struct {
	JSON bool   `arg:"--json" help:"print JSON"`
	File string `arg:"positional,required"`
}

// DrainCommand ends new flows to a back end, and UndrainCommand lets them in again.
type DrainCommand struct {
	Access
	Path string `arg:"positional,required" help:"service/zone/group/backend"`
}

// RepublishCommand writes what is in force back to a store that lost it.
type RepublishCommand struct{ Access }

// Command is one operators' command.
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

// Execute runs a command, prints its error and returns the exit status.
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

// print writes value as JSON, or calls text.
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

// Value is one effective value as get prints it.
type Value struct {
	Key   settings.Key `json:"key"`
	Value string       `json:"value"`
	// From is the path that gives the value, or default.
	From string `json:"from"`
}

// Run implements Command.
func (c *GetCommand) Run(ctx context.Context, out io.Writer) error {
	session, err := c.session()
	if err != nil {
		return err
	}
	state, err := session.Store.Load(ctx)
	if err != nil {
		return err
	}
	if c.YAML {
		document, err := state.Tree.Format()
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "# revision %d\n%s", state.Head.Revision, document)
		return err
	}
	path, err := settings.ParsePath(c.Path)
	if err != nil {
		return Invalid.Wrap(err)
	}
	if state.Tree[path] == nil {
		return Invalid.New("%s does not exist", path)
	}
	values := effectiveValues(state.Tree, path)
	if c.Key != "" {
		values = slices.DeleteFunc(values, func(v Value) bool { return string(v.Key) != c.Key })
		if len(values) == 0 {
			return Invalid.New("%s has no setting %q", path, c.Key)
		}
	}
	return c.print(out, values, func(w io.Writer) {
		for _, value := range values {
			fmt.Fprintf(w, "%s\t%s\t%s\n", value.Key, value.Value, value.From)
		}
	})
}

func effectiveValues(tree settings.Tree, path settings.Path) []Value {
	var values []Value
	for _, field := range settings.Fields {
		value, from := tree.Effective(path, field.Key)
		if value != "" && path.Level() <= field.Last && (path.Level() >= field.First || from != "default") {
			values = append(values, Value{field.Key, value, from})
		}
	}
	return values
}

func (a Access) edit(ctx context.Context, out io.Writer, base uint64, mutate func(settings.Tree) error) error {
	session, err := a.session()
	if err != nil {
		return err
	}
	accepted, err := session.Edit(ctx, base, mutate)
	if err != nil {
		return err
	}
	return a.printAccepted(out, accepted)
}

func (a Access) printAccepted(out io.Writer, accepted Accepted) error {
	return a.print(out, accepted, func(w io.Writer) {
		if len(accepted.Changes) == 0 {
			fmt.Fprintf(w, "nothing to change at revision %d\n", accepted.Revision)
			return
		}
		fmt.Fprintf(w, "accepted as revision %d, confirmed by %d balancers\n", accepted.Revision, accepted.Pushed)
		for _, change := range accepted.Changes {
			fmt.Fprintf(w, "  %s\n", change)
		}
	})
}

// Run implements Command.
func (c *SetCommand) Run(ctx context.Context, out io.Writer) error {
	path, err := settings.ParsePath(c.Path)
	if err != nil {
		return Invalid.Wrap(err)
	}
	return c.edit(ctx, out, c.Base, func(tree settings.Tree) error {
		var faults []error
		for _, assignment := range c.Values {
			key, value, found := strings.Cut(assignment, "=")
			if !found {
				faults = append(faults, fmt.Errorf("%q: wants KEY=VALUE", assignment))
				continue
			}
			faults = append(faults, tree.Set(path, settings.Key(key), value))
		}
		return errors.Join(faults...)
	})
}

// Run implements Command.
func (c *UnsetCommand) Run(ctx context.Context, out io.Writer) error {
	path, err := settings.ParsePath(c.Path)
	if err != nil {
		return Invalid.Wrap(err)
	}
	return c.edit(ctx, out, c.Base, func(tree settings.Tree) error {
		if tree[path] == nil {
			return fmt.Errorf("%s does not exist", path)
		}
		if len(c.Keys) == 0 {
			tree.Remove(path)
			return nil
		}
		for _, key := range c.Keys {
			if _, given := tree[path][settings.Key(key)]; !given {
				return fmt.Errorf("%s: %s is not set here", path, key)
			}
			delete(tree[path], settings.Key(key))
		}
		return nil
	})
}

// readTree reads and checks a file; errors name file and line.
func readTree(file string) (settings.Tree, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, Invalid.Wrap(err)
	}
	tree, faults := settings.Parse(document)
	if len(faults) == 0 {
		return tree, nil
	}
	for i, fault := range faults {
		faults[i] = fmt.Errorf("%s: %w", file, fault)
	}
	return nil, Invalid.Wrap(errors.Join(faults...))
}

// Run implements Command.
func (c *ApplyCommand) Run(ctx context.Context, out io.Writer) error {
	next, err := readTree(c.File)
	if err != nil {
		return err
	}
	return c.edit(ctx, out, c.Base, func(tree settings.Tree) error {
		clear(tree)
		for path, values := range next {
			tree[path] = values
		}
		return nil
	})
}

// Run implements Command.
func (c *DiffCommand) Run(ctx context.Context, out io.Writer) error {
	next, err := readTree(c.File)
	if err != nil {
		return err
	}
	session, err := c.session()
	if err != nil {
		return err
	}
	state, err := session.Store.Load(ctx)
	if err != nil {
		return err
	}
	changes := settings.Diff(state.Tree, next)
	return c.print(out, changes, func(w io.Writer) {
		for _, change := range changes {
			fmt.Fprintln(w, change)
		}
	})
}

// Run implements Command.
func (c *HistoryCommand) Run(ctx context.Context, out io.Writer) error {
	session, err := c.session()
	if err != nil {
		return err
	}
	edits, err := session.Store.History(ctx, c.Limit)
	if err != nil {
		return err
	}
	return c.print(out, edits, func(w io.Writer) {
		for _, edit := range edits {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", edit.Revision, edit.Time.Format(time.RFC3339), edit.Author, edit.EditID)
			for _, change := range edit.Changes {
				fmt.Fprintf(w, "\t%s\n", change)
			}
		}
	})
}

// Run implements Command.
func (c *ValidateCommand) Run(_ context.Context, out io.Writer) error {
	tree, err := readTree(c.File)
	if err != nil {
		return err
	}
	snapshot := settings.Resolve(tree, 0)
	result := struct {
		Valid    bool `json:"valid"`
		Services int  `json:"services"`
		Backends int  `json:"backends"`
	}{true, len(snapshot.Services), len(snapshot.Backends)}
	return printAs(c.JSON, out, result, func(w io.Writer) {
		fmt.Fprintf(w, "valid: %d services, %d back ends\n", result.Services, result.Backends)
	})
}

// Run implements Command.
func (c *DrainCommand) Run(ctx context.Context, out io.Writer) error {
	return c.setState(ctx, out, "drain")
}

func (c *DrainCommand) setState(ctx context.Context, out io.Writer, state string) error {
	path, err := settings.ParsePath(c.Path)
	if err != nil {
		return Invalid.Wrap(err)
	}
	return c.edit(ctx, out, 0, func(tree settings.Tree) error {
		if tree[path] == nil || path.Level() != settings.LevelBackend {
			return fmt.Errorf("%s is not a back end", path)
		}
		return tree.Set(path, settings.KeyState, state)
	})
}

// Run implements Command.
func (c *RepublishCommand) Run(ctx context.Context, out io.Writer) error {
	session, err := c.session()
	if err != nil {
		return err
	}
	if c.Machines == "" {
		return Invalid.New("--machines is missing (or GAUGEYARD_MACHINES); allowed: http URL")
	}
	accepted, err := session.Republish(ctx)
	if err != nil {
		return err
	}
	return c.printAccepted(out, accepted)
}

// UndrainCommand lets new flows to a back end again.
type UndrainCommand struct{ DrainCommand }

// Run implements Command.
func (c *UndrainCommand) Run(ctx context.Context, out io.Writer) error {
	return c.setState(ctx, out, "active")
}
