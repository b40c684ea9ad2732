package io.indigoreach.tools;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The registry of records, for people and for exports' scripts. */
@Command(
        name = "records",
        mixinStandardHelpOptions = true,
        description = "Who may bill which record: one at any time.",
        synopsisSubcommandLabel = "WHAT",
        subcommands = {
            RecordsDecisions.Begin.class,
            RecordsDecisions.Compared.class,
            RecordsBilling.Claim.class,
            RecordsBilling.Release.class,
            RecordsBilling.Billing.class,
            RecordsBilling.Billed.class,
            RecordsQuestions.Show.class,
            RecordsQuestions.Holders.class,
            RecordsQuestions.Doubt.class,
            RecordsDecisions.Resolve.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done, or done before under the same name",
            "1:malformed, or refused for good",
            "2:a wrong command line",
            "4:not decided in time: say the same again",
            "5:refused: another has it, it was replaced, or it is in doubt"
        },
        footer = {
            "",
            "Example:",
            "  indigoreach records claim --run export-0412 --file ids.txt && \\",
            "  indigoreach records billing --run export-0412 --file ids.txt > fences.txt"
        })
final class RecordsVerb implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "say what: such as claim, billing or show");
    }
}
