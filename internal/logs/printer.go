package logs

import (
	"fmt"
	"io"
)

// ClockFormat is the format of a time of day in reports.
const ClockFormat = "15:04:05.000"

// Printer writes the lines of a report and retains the first write error in Err.
type Printer struct {
	Out io.Writer
	Err error
}

// Line formats and writes one line. It does nothing after a write error.
func (p *Printer) Line(format string, args ...any) {
	if p.Err == nil {
		_, p.Err = fmt.Fprintf(p.Out, format+"\n", args...)
	}
}
