package edge

import (
	"io"
	"os"
	"testing"
)

// startSettings is a settings file as the deployment template generates it.
const startSettings = "testdata/balancer.yaml"

// BenchmarkReadSettings measures the parsing of the settings file.
func BenchmarkReadSettings(b *testing.B) {
	document, err := os.ReadFile(startSettings)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, faults := ParseConfig(document); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}

// BenchmarkMakeNode measures the start between the settings file and the first packet.
func BenchmarkMakeNode(b *testing.B) {
	document, err := os.ReadFile(startSettings)
	if err != nil {
		b.Fatal(err)
	}
	config, _ := ParseConfig(document)
	b.ReportAllocs()
	for b.Loop() {
		node, err := New(config, io.Discard)
		if err != nil {
			b.Fatal(err)
		}
		_ = node.data.Close()
		_ = node.peer.Close()
		close(node.lines.lines)
	}
}
