package yuccadocument

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// Values of [Service.Objective].
const (
	ObjectiveResponseTime = "response_time"
	ObjectiveWorkDone     = "work_done"
)

const maxRunTime = time.Hour

// Services maps the name of a service to its settings.
type Services map[string]Service

// Service holds the settings for the tasks of a service.
type Service struct {
	// Objective is what placement and queue order optimize: response time or
	// throughput.
	Objective string `json:"objective"`
	// DataCentres lists where the service may run; empty means everywhere.
	DataCentres []string `json:"data_centres"`
	// MaxRun is the maximum run time of a task.
	MaxRun time.Duration `json:"max_run"`
	// RecoveryWait is how long requests wait while the service has no target.
	RecoveryWait time.Duration `json:"recovery_wait"`
}

func (s Services) check(d *yuccajsonc.Document, prefix string, centres DataCentres) {
	for _, name := range slices.Sorted(maps.Keys(s)) {
		s[name].check(d, prefix+"."+name, centres)
	}
}

func (s Service) check(d *yuccajsonc.Document, path string, centres DataCentres) {
	if s.Objective != ObjectiveResponseTime && s.Objective != ObjectiveWorkDone {
		d.Report(path+".objective", fmt.Sprintf("is %q", s.Objective), ObjectiveResponseTime+" or "+ObjectiveWorkDone)
	}
	if s.MaxRun <= 0 || s.MaxRun > maxRunTime {
		d.Report(path+".max_run", fmt.Sprintf("is %s", s.MaxRun), fmt.Sprintf("a duration above zero, at most %s", maxRunTime))
	}
	if s.RecoveryWait > maxRunTime {
		d.Report(path+".recovery_wait", fmt.Sprintf("is %s", s.RecoveryWait), fmt.Sprintf("at most %s", maxRunTime))
	}
	for i, name := range s.DataCentres {
		if _, ok := centres[name]; !ok {
			d.Report(fmt.Sprintf("%s.data_centres[%d]", path, i), fmt.Sprintf("names the unknown data centre %q", name), "one of section data_centres")
		}
	}
}

// Allows reports whether the service may run in the data centre.
func (s Service) Allows(dataCentre string) bool {
	return len(s.DataCentres) == 0 || slices.Contains(s.DataCentres, dataCentre)
}
