package logs

import (
	"bytes"
	"compress/gzip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gaugeyard/internal/fuzzinput"
)

const sampleLog = `  0.5 front-1 {"@level":"info","@message":"started","@module":"front-1","@timestamp":"2026-06-09T14:41:17.5Z","zone":"a"}
a line of something else
{"@message":"broken
{"@level":"info","@message":"flow placed","@module":"front-2","@timestamp":"2026-06-09T14:41:17.1Z","caller":"100.64.0.1:1024","backend":"ab","revision":7,"load":1.5}
`

// TestReadFilesMergesLinesByTime checks plain and gzip files, text before the object, and
// the count of skipped lines.
func TestReadFilesMergesLinesByTime(t *testing.T) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write([]byte(sampleLog))
	_ = writer.Close()
	dir := t.TempDir()
	plainFile, gzipFile := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log.gz")
	for name, data := range map[string][]byte{plainFile: []byte(sampleLog), gzipFile: compressed.Bytes()} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	lines, skipped, err := ReadFiles([]string{plainFile, gzipFile, "-"}, strings.NewReader(sampleLog))
	if err != nil || len(lines) != 6 || skipped != 6 {
		t.Fatalf("%d lines, %d skipped, %v", len(lines), skipped, err)
	}
	if first := lines[0]; first.Node != "front-2" || first.Backend != "ab" || first.Revision != 7 || first.Load != 1.5 {
		t.Errorf("first line %+v", first)
	}
	if lines[5].Message != Started {
		t.Errorf("last line %+v", lines[5])
	}
	if _, _, err := ReadFiles([]string{filepath.Join(dir, "missing")}, nil); err == nil || !strings.Contains(err.Error(), "missing") {
		t.Errorf("a missing file: %v", err)
	}
}

// FuzzRead checks that Read does not panic on any input and returns only complete lines.
func FuzzRead(f *testing.F) {
	fuzzinput.Add(f, []byte(sampleLog), []byte{0x1f, 0x8b, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		lines, _, _ := Read(bytes.NewReader(data))
		for _, line := range lines {
			if line.Node == "" || line.At.IsZero() {
				t.Errorf("line %+v", line)
			}
		}
	})
}
