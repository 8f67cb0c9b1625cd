package main

import (
	"fmt"
	"io"
)

// minAvoidable is the avoidable loss from which a window is printed, in the unit of worth.
const minAvoidable = 2

// print writes the bound of a day: the parts, then the credits of the day, of classes, and of
// windows with an avoidable or bounded loss.
func (r *result) print(out io.Writer, name string) {
	fmt.Fprintf(out, "%s: worth %.4f, bound %.4f, below it by %.4f; prices %.4f of which %.4f must be paid\n",
		name, r.report.Worth, r.worth, r.worth-r.report.Worth, r.paid(), r.prices)
	for i, part := range r.parts {
		fmt.Fprintf(out, "  %-14s weight %.2f  got %.4f  bound %.4f\n", part.Name, part.Weight, r.report.Parts[i].Value, part.Value)
	}
	fmt.Fprintf(out, "  %-14s %9s %9s %9s %9s %6s %6s\n", "", "owed", "bound", "got", "avoidable", "late", "failed")
	day := r.day()
	printCredit(out, day)
	for i := range r.classes {
		printCredit(out, &r.classes[i])
	}
	for i := range r.windows {
		if w := &r.windows[i]; w.avoidable() >= minAvoidable || w.bound < w.owed {
			printCredit(out, w)
			for _, event := range r.report.Events {
				if at := seconds(event.At); at < w.begin+windowTime && seconds(event.To) > w.begin {
					fmt.Fprintf(out, "    %s at %.2f s\n", event.Kind, event.At)
				}
			}
		}
	}
}

func printCredit(out io.Writer, c *credit) {
	fmt.Fprintf(out, "  %-14s %9.1f %9.1f %9.1f %9.1f %6.0f %6.0f\n", c.name, c.owed, c.bound, c.earned, c.avoidable(), c.late, c.failed)
}

// paid returns the sum of all prices.
func (r *result) paid() float64 {
	sum := 0.0
	for _, price := range r.report.Prices {
		sum += price.Cost
	}
	return sum
}
