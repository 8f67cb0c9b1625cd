package soak

import (
	_ "embed"
	"time"

	"gopkg.in/yaml.v3"
)

//go:embed regressions.yaml
var regressionsFile []byte

// Regression is a run that failed in the past.
type Regression struct {
	Seed      uint64        `yaml:"seed"`
	Length    time.Duration `yaml:"length"`
	Balancers int           `yaml:"balancers"`
	// Overlap selects a schedule with overlapping faults.
	Overlap bool `yaml:"overlap"`
	// Cause describes the cause of the failure, or says that it is unknown.
	Cause string `yaml:"cause"`
}

// Regressions returns the runs listed in regressions.yaml.
func Regressions() ([]Regression, error) {
	var list []Regression
	err := yaml.Unmarshal(regressionsFile, &list)
	return list, err
}
