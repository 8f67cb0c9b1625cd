package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"gaugeyard/internal/settings"
)

// Value is one effective value, as GetCommand prints it.
type Value struct {
	Key   settings.Key `json:"key"`
	Value string       `json:"value"`
	// From is the path of the node that sets the value, or "default".
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
		if value != "" && path.Level() <= field.MaxLevel && (path.Level() >= field.MinLevel || from != "default") {
			values = append(values, Value{field.Key, value, from})
		}
	}
	return values
}

// readTree reads and validates a file. Errors name the file, and the line where it is known.
func readTree(file string) (settings.Tree, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, Invalid.Wrap(err)
	}
	tree, parseErrs := settings.Parse(document)
	if len(parseErrs) == 0 {
		return tree, nil
	}
	for i, parseErr := range parseErrs {
		parseErrs[i] = fmt.Errorf("%s: %w", file, parseErr)
	}
	return nil, Invalid.Wrap(errors.Join(parseErrs...))
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
