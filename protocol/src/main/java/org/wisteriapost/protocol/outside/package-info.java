/**
 * One small interface for each outside system; adapters register as
 * {@link org.wisteriapost.protocol.outside.OutsideProvider}.
 */
package org.wisteriapost.protocol.outside;
