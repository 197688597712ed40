package yuccadocument_test

import (
	"os"
	"strings"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
)

const invalidDocument = `{
  "data_centres": {"cusco": {"region": "sierra"}, "puno": {}},
  "services": {
    "regulation": {"objective": "fast", "data_centres": ["lima"], "max_run": "0s"},
  },
  "limits": {"claims_kept": "1s", "teams": {"parishes": {"weight": -1, "services": ["clocks"]}}},
}`

func TestParseReportsAllFindings(t *testing.T) {
	_, err := yuccadocument.Parse("doc.jsonc", []byte(invalidDocument))
	if err == nil {
		t.Fatal("no findings")
	}
	for _, want := range []string{
		`doc.jsonc:2:59: data_centres.puno.region: is missing, expected the name of a region`,
		`doc.jsonc:4:33: services.regulation.objective: is "fast", expected response_time or work_done`,
		`doc.jsonc:4:58: services.regulation.data_centres[0]: names the unknown data centre "lima"`,
		`doc.jsonc:4:78: services.regulation.max_run: is 0s`,
		`doc.jsonc:6:29: limits.claims_kept: is 1s`,
		`limits.teams.parishes.weight: is -1`,
		`limits.teams.parishes.services[0]: names the unknown service "clocks"`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("findings lack %q:\n%v", want, err)
		}
	}
}

func TestExampleDocumentIsValid(t *testing.T) {
	text, err := os.ReadFile("../examples/document.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := yuccadocument.Parse("document.jsonc", text); err != nil {
		t.Error(err)
	}
}

// A section can't be replaced by one that lacks names to which other sections
// refer.
func TestCheckChangeFindsDanglingReferences(t *testing.T) {
	current := yuccadocument.Document{
		DataCentres: yuccadocument.DataCentres{"cusco": {Region: "sierra"}},
		Services:    yuccadocument.Services{"regulation": {Objective: "work_done", DataCentres: []string{"cusco"}, MaxRun: 1}},
	}
	err := yuccadocument.CheckChange(current, yuccadocument.SectionDataCentres, []byte(`{"puno": {"region": "sierra"}}`))
	if err == nil || !strings.Contains(err.Error(), `names the unknown data centre "cusco"`) {
		t.Errorf("got findings %v", err)
	}
}
