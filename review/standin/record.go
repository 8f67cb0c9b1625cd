package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	began time.Time
	file  *os.File
	lines *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, lines: bufio.NewWriter(file)}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.lines, "%9.4f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, arguments ...any) {
	fmt.Printf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
	r.add(format, arguments...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.lines.Flush()
	_ = r.file.Close()
}
