package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"sprucelane.example/sprucelane/internal/tools/benchrun"
)

// runOne makes one run in a separate clone of the repository.
func runOne(o options, r run) result {
	result := result{run: r}
	report, err := runInClone(o, r)
	if report != nil {
		result.score, result.ruleViolated = report.Score, len(report.RuleViolations) > 0
	}
	result.err = err
	return result
}

// runInClone makes a run in a temporary clone. If the copy of the journal fails, it returns both the
// report and the error.
func runInClone(o options, r run) (*benchrun.Report, error) {
	folder, err := os.MkdirTemp("", "ablate-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	clone := filepath.Join(folder, "clone")
	if output, err := exec.Command("git", "clone", "--quiet", ".", clone).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s", err, output)
	}
	before, err := journalFiles(clone)
	if err != nil {
		return nil, err
	}
	if err := switchOff(filepath.Join(clone, "deploy", "system.toml"), r.off); err != nil {
		return nil, err
	}
	arguments := []string{"--why", fmt.Sprintf("trial, [%s] off: %s", r.off, o.why)}
	if r.seed != "" {
		arguments = append(arguments, "--seed", r.seed)
	}
	report, err := benchrun.Run(o.bench, clone, o.site, r.day, arguments...)
	if err != nil {
		return nil, err
	}
	return report, copyNewJournalFiles(clone, before)
}

// buildFlags are the flags in the deploy file's build line that switchOff replaces.
const buildFlags = "-ldflags=-linkmode=external"

// switchOff changes the build line of a deploy file so that the build has a mechanism switched off.
func switchOff(deploy, off string) error {
	text, err := os.ReadFile(deploy)
	if err != nil {
		return err
	}
	if strings.Count(string(text), buildFlags) != 1 {
		return fmt.Errorf("%s: the build line doesn't have %s once", deploy, buildFlags)
	}
	const variable = "sprucelane.example/sprucelane/internal/ablation.off"
	flags := fmt.Sprintf("-tags ablation -ldflags='-linkmode=external -X %s=%s'", variable, off)
	return os.WriteFile(deploy, []byte(strings.Replace(string(text), buildFlags, flags, 1)), 0o600)
}

// journalFiles returns the paths of all files of a clone's journal.
func journalFiles(clone string) (map[string]bool, error) {
	found := map[string]bool{}
	for _, pattern := range []string{"journal/*.json", "journal/*/*"} {
		paths, err := filepath.Glob(filepath.Join(clone, pattern))
		if err != nil {
			return nil, err
		}
		for _, path := range paths {
			found[path] = true
		}
	}
	return found, nil
}

// copyNewJournalFiles copies the files that a run has added to its clone's journal into the journal of the
// current folder.
func copyNewJournalFiles(clone string, before map[string]bool) error {
	after, err := journalFiles(clone)
	if err != nil {
		return err
	}
	for path := range after {
		if before[path] {
			continue
		}
		name, err := filepath.Rel(clone, path)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.WriteFile(name, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}
