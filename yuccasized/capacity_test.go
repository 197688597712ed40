package yuccasized_test

import (
	"fmt"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccasized"
)

// Demands are rounded up, so that a capacity which loses a thousandth has no room for its equal.
func TestTaskFitsTheWorkerOfItsSize(t *testing.T) {
	for _, cpu := range []string{"0.57", "1.001", "2.01", "4.35", "16", "16.1"} {
		demand, err := decodeStep(cpu, "0", "0")
		if err != nil {
			t.Fatal(err)
		}
		report, err := yuccasized.DecodeReport(fmt.Appendf(nil, `{"id": "w", "service": "belfry", "cpu": %s}`, cpu))
		if err != nil || report.CPUMilli != demand {
			t.Errorf("a worker of %s cores has %d thousandths, a task of as many needs %d: %v", cpu, report.CPUMilli, demand, err)
		}
	}
}
