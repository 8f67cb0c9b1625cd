// Package examples holds the settings files of the two deployments, as tests,
// the simulator and the demo load them.
package examples

import "embed"

// Files are the settings files.
//
//go:embed *.yaml
var Files embed.FS
