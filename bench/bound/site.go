package main

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"
)

// Site is the part of a site file that the bound needs.
type Site struct {
	Classes []Class `toml:"classes"`
	// Machines are those that exist from the start.
	Machines []Machines `toml:"machines"`
	Net      struct {
		InZoneMs float64 `toml:"in_zone_ms"`
		ClientMs float64 `toml:"client_ms"`
	} `toml:"net"`
	Bounds struct {
		// TouchMs is how long a machine counts as out of touch after a disturbance.
		TouchMs float64 `toml:"touch_ms"`
	} `toml:"bounds"`
}

// Machines are identical machines of one zone.
type Machines struct {
	Class string `toml:"class"`
	Zone  string `toml:"zone"`
	Count int    `toml:"count"`
}

// Class is a kind of request.
type Class struct {
	Name       string  `toml:"name"`
	AimMs      float64 `toml:"aim_ms"`
	DeadlineMs float64 `toml:"deadline_ms"`
	// Worth is the credit of a request within its aim, LateWorth that of one within its
	// deadline, in the same unit.
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"`
	Retries   int     `toml:"retries"`
	// Habit is "fresh" if each request opens a flow.
	Habit  string `toml:"habit"`
	WorkMs struct {
		Mean   float64 `toml:"mean"`
		Spread float64 `toml:"spread"`
	} `toml:"work_ms"`
}

// fresh reports whether each request opens a flow.
func (c *Class) fresh() bool { return c.Habit == "fresh" }

// outOfTouchTime returns how long a machine stays out of touch after a disturbance.
func (s *Site) outOfTouchTime() time.Duration { return milliseconds(s.Bounds.TouchMs) }

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func readSite(name string) (*Site, error) {
	site := &Site{}
	if _, err := toml.DecodeFile(name, site); err != nil {
		return nil, err
	}
	if len(site.Classes) == 0 || site.Bounds.TouchMs == 0 {
		return nil, fmt.Errorf("%s: classes or bounds.touch_ms is missing", name)
	}
	return site, nil
}
