// Package examples embeds the settings files of two deployments for tests, the simulator and
// the demo.
package examples

import "embed"

// Files contains the settings files.
//
//go:embed *.yaml
var Files embed.FS
