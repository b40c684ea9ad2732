package io.indigoreach.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the build wrote into the archive. */
final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Version.class.getPackage().getImplementationVersion();
        return new String[] {"indigoreach " + (version == null ? "(development)" : version)};
    }
}
