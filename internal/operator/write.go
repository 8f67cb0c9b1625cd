package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"gaugeyard/internal/settings"
)

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
		var assignErrs []error
		for _, assignment := range c.Values {
			key, value, found := strings.Cut(assignment, "=")
			if !found {
				assignErrs = append(assignErrs, fmt.Errorf("%q: must be KEY=VALUE", assignment))
				continue
			}
			assignErrs = append(assignErrs, tree.Set(path, settings.Key(key), value))
		}
		return errors.Join(assignErrs...)
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
			if _, ok := tree[path][settings.Key(key)]; !ok {
				return fmt.Errorf("%s: %s is not set here", path, key)
			}
			delete(tree[path], settings.Key(key))
		}
		return nil
	})
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

// UndrainCommand allows new flows to a back end again.
type UndrainCommand struct{ DrainCommand }

// Run implements Command.
func (c *UndrainCommand) Run(ctx context.Context, out io.Writer) error {
	return c.setState(ctx, out, "active")
}
