package yuccacommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/tailscale/hujson"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
)

type jobCommands struct {
	Submit jobSubmit `cmd:"" help:"Submit a job and wait for its answer."`
	Show   jobShow   `cmd:"" help:"Show a job that an entry has."`
	Cancel jobCancel `cmd:"" help:"End a job: what has not started never will."`
}

type jobSubmit struct {
	entryFlags
	JSON bool   `name:"json" help:"Print the answer as JSON."`
	File string `arg:"" help:"The job, JSON with comments." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (jobSubmit) Help() string {
	return "Exits with 1 if the job failed, 4 if its outcome is not known.\n\nExample: yuccaturn job submit examples/job.jsonc"
}

// Run submits the job and prints its outcome.
func (c *jobSubmit) Run(o *output) error {
	body, err := readJob(c.File)
	if err != nil {
		return err
	}
	return submit(context.Background(), o, c.client(), body, c.JSON)
}

// setSubmittedAt adds submitted_at to a job that lacks it.
func setSubmittedAt(file string, job []byte, now time.Time) ([]byte, error) {
	var fields map[string]json.RawMessage
	if d := yuccajsonc.Decode(file, job, &fields); d.Err() != nil {
		return nil, d.Err()
	}
	if _, present := fields["submitted_at"]; present {
		return job, nil
	}
	parsed, err := hujson.Parse(job)
	if err != nil {
		return nil, err
	}
	patch := fmt.Sprintf(`[{"op": "add", "path": "/submitted_at", "value": %q}]`, now.UTC().Format(time.RFC3339Nano))
	if err := parsed.Patch([]byte(patch)); err != nil {
		return nil, err
	}
	return parsed.Pack(), nil
}

// submit submits a job and prints it. If the job itself failed, the error wraps
// errReported, because the printed job already shows the reason.
func submit(ctx context.Context, o *output, client *yuccaclient.Client, body []byte, asJSON bool) error {
	job, response, err := client.Submit(ctx, body)
	var problem *yuccaproblem.Problem
	if err != nil && (!errors.As(err, &problem) || job.ID == "") {
		return err
	}
	printJob(o, job, response, asJSON)
	if err != nil {
		return errors.Join(errReported, err)
	}
	return nil
}

func printJob(o *output, job yuccaclient.Job, response []byte, asJSON bool) {
	if asJSON {
		o.printf("%s", response)
		return
	}
	for _, t := range job.Tasks {
		o.printf("%s: %s%s\n", t.ID, t.State, taskSuffix(t))
	}
	finished := 0
	for _, t := range job.Tasks {
		if t.State == "finished" {
			finished++
		}
	}
	if job.State == "running" {
		o.printf("job %s: running\n", job.ID)
		return
	}
	o.printf("job %s: %s (%d of %d tasks)%s\n", job.ID, job.State, finished, len(job.Tasks), reasonSuffix(job))
}

func reasonSuffix(job yuccaclient.Job) string {
	if job.Reason == "" {
		return ""
	}
	return ": " + job.Reason
}

func taskSuffix(t yuccaclient.Task) string {
	switch {
	case t.Failure != "":
		return " (" + t.Failure + ")"
	case len(t.Result) > 0:
		return " " + string(t.Result)
	case t.ResultText != "":
		return " " + t.ResultText
	}
	return ""
}

type jobShow struct {
	entryFlags
	JSON bool   `name:"json" help:"Print the answer as JSON."`
	Team string `arg:"" help:"The job's team."`
	ID   string `arg:"" name:"id" help:"The job's id."`
}

// Help returns the detailed help text for kong.
func (jobShow) Help() string {
	return "Example: yuccaturn job show parishes regulation-2026-03-02"
}

// Run prints the state of the job.
func (c *jobShow) Run(o *output) error {
	job, response, err := c.client().Job(context.Background(), c.Team, c.ID)
	if err != nil {
		return err
	}
	printJob(o, job, response, c.JSON)
	return nil
}

type jobCancel struct {
	entryFlags
	JSON bool   `name:"json" help:"Print the answer as JSON."`
	Team string `arg:"" help:"The job's team."`
	ID   string `arg:"" name:"id" help:"The job's id."`
}

// Help returns the detailed help text for kong.
func (jobCancel) Help() string {
	return "Example: yuccaturn job cancel parishes regulation-2026-03-02"
}

// Run cancels the job and prints its state.
func (c *jobCancel) Run(o *output) error {
	job, response, err := c.client().Cancel(context.Background(), c.Team, c.ID)
	if err != nil {
		return err
	}
	printJob(o, job, response, c.JSON)
	return nil
}
