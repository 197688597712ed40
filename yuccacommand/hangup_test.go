package yuccacommand_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccacommand"
)

// hangupVariable is set in the process that gets the signal.
const hangupVariable = "YUCCATURN_HANGUP_TEST"

// The settings are a pipe, at which the process waits; it ends with an error when it has read them.
func TestHangupEndsAProcessThatReadsItsSettings(t *testing.T) {
	if os.Getenv(hangupVariable) != "" {
		os.Exit(yuccacommand.Main([]string{"deployed", "side"}, os.Stdout, os.Stderr))
	}
	path := filepath.Join(t.TempDir(), "boot.conf")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	command.Env = append(os.Environ(), hangupVariable+"=1", "YUCCATURN_BOOT="+path)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_, _ = pipe.WriteString("odd\n")
	_ = pipe.Close()
	_ = command.Wait()
	if status := command.ProcessState.Sys().(syscall.WaitStatus); status.Signaled() {
		t.Errorf("the process ended by %v", status.Signal())
	}
}
